/** The weights in force at this entry instance, and the limits of regions, selectors and links. */
@NullMarked
package org.corianderweir.daemon.steering;

import org.jspecify.annotations.NullMarked;
