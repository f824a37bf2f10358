/**
 * A randomized soak: entry instances run as processes, faults are injected from outside them, and
 * the promises are checked by what callers and servers saw. A seed decides the faults and the load;
 * the interleaving of the processes is not repeatable.
 */
@NullMarked
package org.corianderweir.bench.soak;

import org.jspecify.annotations.NullMarked;
