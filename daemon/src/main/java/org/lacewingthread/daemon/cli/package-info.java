/** The command line: one subcommand a class, documented exit codes, help that is tested exactly. */
package org.lacewingthread.daemon.cli;
