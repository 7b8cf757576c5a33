/** Events, actions and messages of the control state machine that runs on each entry VM. */
package org.lacewingthread.core.control;
