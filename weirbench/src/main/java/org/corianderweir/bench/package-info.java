/** Stand-ins for the systems around the daemons, and tools to try and measure them. */
@NullMarked
package org.corianderweir.bench;

import org.jspecify.annotations.NullMarked;
