/** The micro-kernel: services that find each other by name, their life cycle, the control loop. */
@NullMarked
package org.corianderweir.kernel;

import org.jspecify.annotations.NullMarked;
