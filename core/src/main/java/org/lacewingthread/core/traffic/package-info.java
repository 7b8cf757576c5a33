/** Decision logic for requests, free of I/O: result codes, admission, retries and idempotency. */
package org.lacewingthread.core.traffic;
