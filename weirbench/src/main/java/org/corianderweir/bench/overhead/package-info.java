/** Measures what an entry instance adds to a direct call of the same backend server. */
@NullMarked
package org.corianderweir.bench.overhead;

import org.jspecify.annotations.NullMarked;
