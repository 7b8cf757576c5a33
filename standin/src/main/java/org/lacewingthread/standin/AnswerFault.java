package org.lacewingthread.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What becomes of the answer to a request that ran. */
public enum AnswerFault {
    /** It is sent. */
    @JsonProperty("none")
    NONE {
        @Override
        void deliver(AnswerSender channel, Answer answer) {
            channel.send(answer);
        }
    },
    /** The connection is closed in its place. */
    @JsonProperty("lost")
    LOST {
        @Override
        void deliver(AnswerSender channel, Answer answer) {
            channel.closeConnection();
        }
    },
    /** It is sent after a delay. */
    @JsonProperty("delayed")
    DELAYED {
        @Override
        void deliver(AnswerSender channel, Answer answer) {
            channel.sendDelayed(answer);
        }
    },
    /** It is sent, and sent again as the answer to the connection's next request. */
    @JsonProperty("duplicated")
    DUPLICATED {
        @Override
        void deliver(AnswerSender channel, Answer answer) {
            channel.sendDuplicated(answer);
        }
    },
    /** It carries the id and body of another request. */
    @JsonProperty("crossed")
    CROSSED {
        @Override
        void deliver(AnswerSender channel, Answer answer) {
            channel.send(channel.otherRequestsAnswer(answer));
        }
    },
    /** Half of its body is sent, then the connection is closed. */
    @JsonProperty("truncated")
    TRUNCATED {
        @Override
        void deliver(AnswerSender channel, Answer answer) {
            channel.sendTruncated(answer);
        }
    };

    /** Sends an answer with this fault. */
    abstract void deliver(AnswerSender channel, Answer answer);
}
