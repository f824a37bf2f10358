/** Keeps the weights in force at this entry instance. */
@NullMarked
package org.corianderweir.daemon.steering;

import org.jspecify.annotations.NullMarked;
