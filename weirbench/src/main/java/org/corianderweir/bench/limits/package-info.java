/** Compares rate limiters for an organisation over the whole fleet in simulated time. */
@NullMarked
package org.corianderweir.bench.limits;

import org.jspecify.annotations.NullMarked;
