package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What becomes of the answer to a request that ran. */
public enum AnswerFault {
    /** It is sent. */
    @JsonProperty("none")
    NONE {
        @Override
        void deliver(AnswerChannel channel, Answer answer) {
            channel.send(answer);
        }
    },
    /** The connection is closed in its place. */
    @JsonProperty("lost")
    LOST {
        @Override
        void deliver(AnswerChannel channel, Answer answer) {
            channel.drop();
        }
    },
    /** It is sent after a delay. */
    @JsonProperty("delayed")
    DELAYED {
        @Override
        void deliver(AnswerChannel channel, Answer answer) {
            channel.sendLater(answer);
        }
    },
    /** It is sent, and sent again as the answer to the connection's next request. */
    @JsonProperty("duplicated")
    DUPLICATED {
        @Override
        void deliver(AnswerChannel channel, Answer answer) {
            channel.sendTwice(answer);
        }
    },
    /** It carries the id and body of another request. */
    @JsonProperty("crossed")
    CROSSED {
        @Override
        void deliver(AnswerChannel channel, Answer answer) {
            channel.send(channel.strangersAnswer(answer));
        }
    },
    /** Half of its body is sent, then the connection is closed. */
    @JsonProperty("truncated")
    TRUNCATED {
        @Override
        void deliver(AnswerChannel channel, Answer answer) {
            channel.sendHalf(answer);
        }
    };

    /** Sends an answer with this fault. */
    abstract void deliver(AnswerChannel channel, Answer answer);
}
