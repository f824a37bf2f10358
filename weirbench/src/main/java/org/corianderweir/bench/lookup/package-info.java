/** Measures the look-up table at the size that the users' first letter (letter 1) requires. */
@NullMarked
package org.corianderweir.bench.lookup;

import org.jspecify.annotations.NullMarked;
