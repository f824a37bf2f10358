/** What operators reach: status, configuration changes, the time line. */
@NullMarked
package org.corianderweir.daemon.operator;

import org.jspecify.annotations.NullMarked;
