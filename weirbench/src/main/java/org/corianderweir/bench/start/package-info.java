/** Measures the processor time of a start of an entry instance and of its first requests. */
@NullMarked
package org.corianderweir.bench.start;

import org.jspecify.annotations.NullMarked;
