/** Callers with a seeded schedule of arrivals and a journal of what they saw. */
@NullMarked
package org.corianderweir.bench.load;

import org.jspecify.annotations.NullMarked;
