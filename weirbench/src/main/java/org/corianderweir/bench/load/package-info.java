/**
 * Simulated callers: a seeded schedule of arrivals, their senders, and a journal of all attempts.
 */
@NullMarked
package org.corianderweir.bench.load;

import org.jspecify.annotations.NullMarked;
