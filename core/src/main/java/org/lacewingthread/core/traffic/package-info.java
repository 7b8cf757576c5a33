/** Pure decisions on requests: result codes, admission, retries, idempotency. */
package org.lacewingthread.core.traffic;
