/** Checks of what must always hold, over journals kept outside the daemons. */
@NullMarked
package org.corianderweir.bench.observer;

import org.jspecify.annotations.NullMarked;
