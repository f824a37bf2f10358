/** Benchmarks the time and allocation of steering. */
@NullMarked
package org.corianderweir.bench.steering;

import org.jspecify.annotations.NullMarked;
