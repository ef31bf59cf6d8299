/**
 * Emulates the outside systems by their published protocols: the state service, the cloud and the workers, in memory. For
 * tests, for trying the service out on loopback, and for recording the class archive that the build makes. Not part of a serving
 * controller; nothing outside the tests and {@code cli} depends on it.
 */
package garnetscale.emulator;
