package org.lacewingthread.daemon.http;

/** Kinds of bytes that servers send beside the answers to requests. */
enum SecondAnswer {
    WITH_ID {
        @Override
        String text(int answered) {
            return answer("X-Id: " + answered + "\r\n", "second");
        }
    },
    WITHOUT_ID {
        @Override
        String text(int answered) {
            return answer("", "second");
        }
    },
    ID_TWICE {
        @Override
        String text(int answered) {
            return answer("X-Id: " + (answered + 1) + "\r\nX-Id: " + answered + "\r\n", "second");
        }
    },
    UNFRAMED {
        @Override
        String text(int answered) {
            return "HTTP/1.1 200 OK\r\n\r\nsecond";
        }
    },
    BROKEN_OFF {
        @Override
        String text(int answered) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nsecond";
        }
    },
    NO_RESPONSE {
        @Override
        String text(int answered) {
            return "no\r\n\r\n";
        }
    },
    PART_OF_A_STATUS_LINE {
        @Override
        String text(int answered) {
            return "HTTP/1.1 2";
        }
    };

    /** Returns the bytes that follow the answer to the request with the given number. */
    abstract String text(int answered);

    /** Returns whether the bytes behind are the answer to the next request, whatever came before. */
    boolean isWholeAnswer() {
        return this == WITH_ID || this == WITHOUT_ID || this == ID_TWICE;
    }

    static String own(String id) {
        return answer("X-Id: " + id + "\r\n", "own " + id);
    }

    private static String answer(String headers, String body) {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
