/** Root package of the bench module. */
package org.lacewingthread.bench;
