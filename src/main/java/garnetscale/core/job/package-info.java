/**
 * Jobs as users submit them and as the state service holds them: immutable values without scheduling rules. This package
 * depends on no other package.
 */
package garnetscale.core.job;
