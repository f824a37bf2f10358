/** Compares ways to hold an organisation to its rate over the fleet, by simulated time. */
@NullMarked
package org.corianderweir.bench.limits;

import org.jspecify.annotations.NullMarked;
