/** The authenticated connections between entry instances. */
@NullMarked
package org.corianderweir.daemon.peer;

import org.jspecify.annotations.NullMarked;
