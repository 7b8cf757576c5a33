/** The command line: one class per subcommand, documented exit codes, and help texts that tests compare exactly. */
package org.lacewingthread.daemon.cli;
