package org.lacewingthread.daemon.router;

/** Why a request must not be sent any more; each says how the request ends. */
enum SendObstacle {
    /** Nobody waits for the response. */
    CALLER_LEFT {
        @Override
        void end(RequestEngine engine, ActiveRequest request) {
            engine.onCallerDisconnected(request.callerRequest);
        }
    },

    /** The caller's deadline or the route's timeout has passed. */
    TIME_OVER {
        @Override
        void end(RequestEngine engine, ActiveRequest request) {
            engine.deadlines().end(request);
        }
    };

    /** Ends a request that is not finished; an attempt at which a server may be at work is awaited if it must be. */
    abstract void end(RequestEngine engine, ActiveRequest request);
}
