/**
 * Jobs as users submit them and as the state service stores them: immutable values without any rule of scheduling. It depends
 * on no other package.
 */
package garnetscale.core.job;
