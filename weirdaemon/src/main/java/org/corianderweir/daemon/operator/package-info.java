/** The operators' interface: status, configuration changes, the timeline. */
@NullMarked
package org.corianderweir.daemon.operator;

import org.jspecify.annotations.NullMarked;
