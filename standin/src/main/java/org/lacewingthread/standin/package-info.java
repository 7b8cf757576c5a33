/** Root package of the standin module. */
package org.lacewingthread.standin;
