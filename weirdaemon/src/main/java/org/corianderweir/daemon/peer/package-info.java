/** The connections to the other entry instances. */
@NullMarked
package org.corianderweir.daemon.peer;

import org.jspecify.annotations.NullMarked;
