/**
 * Emulates the external systems in memory, by their published protocols: the state service, the cloud and the workers. Used by
 * tests, for trying the scheduler out on loopback, and for recording the class data sharing (CDS) archive that the build makes.
 * Not part of a controller in production; nothing outside the tests and {@code cli} depends on it.
 */
package garnetscale.emulator;
