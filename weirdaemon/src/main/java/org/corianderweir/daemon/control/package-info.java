/** The daemon's control state: the configuration in force, members, limits and events. */
@NullMarked
package org.corianderweir.daemon.control;

import org.jspecify.annotations.NullMarked;
