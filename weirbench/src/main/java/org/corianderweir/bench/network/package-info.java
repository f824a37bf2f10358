/** Relays that stand for the network: delay, cuts, one-way loss and truncated answers. */
@NullMarked
package org.corianderweir.bench.network;

import org.jspecify.annotations.NullMarked;
