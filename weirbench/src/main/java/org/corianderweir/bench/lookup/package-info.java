/** Measures the look-up table at the size of letter 1. */
@NullMarked
package org.corianderweir.bench.lookup;

import org.jspecify.annotations.NullMarked;
