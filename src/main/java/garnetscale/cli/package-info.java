/** The command line: starting a controller, validating its files, the operators' commands and the loopback demo. */
package garnetscale.cli;
