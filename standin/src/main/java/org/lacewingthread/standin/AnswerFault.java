package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Fault applied to the answer to a request that ran. */
public enum AnswerFault {
    /** No fault: the answer is sent. */
    @JsonProperty("none")
    NONE {
        @Override
        void deliver(AnswerSender sender, Answer answer) {
            sender.send(answer);
        }
    },
    /** The connection is closed without an answer. */
    @JsonProperty("lost")
    LOST {
        @Override
        void deliver(AnswerSender sender, Answer answer) {
            sender.closeConnection();
        }
    },
    /** The answer is sent after a delay. */
    @JsonProperty("delayed")
    DELAYED {
        @Override
        void deliver(AnswerSender sender, Answer answer) {
            sender.sendDelayed(answer);
        }
    },
    /** The answer is sent, and sent again in response to the connection's next request. */
    @JsonProperty("duplicated")
    DUPLICATED {
        @Override
        void deliver(AnswerSender sender, Answer answer) {
            sender.sendDuplicated(answer);
        }
    },
    /** An answer with the id and body of another request is sent. */
    @JsonProperty("crossed")
    CROSSED {
        @Override
        void deliver(AnswerSender sender, Answer answer) {
            sender.send(sender.otherRequestsAnswer(answer));
        }
    },
    /** Status 503 is sent without the header that states that the request did not run. */
    @JsonProperty("failed")
    FAILED {
        @Override
        void deliver(AnswerSender sender, Answer answer) {
            sender.sendUnavailable(answer);
        }
    },
    /** Half of the body is sent, then the connection is closed. */
    @JsonProperty("truncated")
    TRUNCATED {
        @Override
        void deliver(AnswerSender sender, Answer answer) {
            sender.sendTruncated(answer);
        }
    };

    /** Sends an answer with this fault. */
    abstract void deliver(AnswerSender sender, Answer answer);
}
