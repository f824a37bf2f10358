/** Relays that simulate network faults: delay, partitions, one-way loss, truncated answers. */
@NullMarked
package org.corianderweir.bench.network;

import org.jspecify.annotations.NullMarked;
