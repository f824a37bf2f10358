/** The daemon: one process per entry instance. */
@NullMarked
package org.corianderweir.daemon;

import org.jspecify.annotations.NullMarked;
