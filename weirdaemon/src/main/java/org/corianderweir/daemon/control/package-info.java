/** The daemon's control state: configuration in force, members, events. */
@NullMarked
package org.corianderweir.daemon.control;

import org.jspecify.annotations.NullMarked;
