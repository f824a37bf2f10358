/** An entry instance that follows the platform's store: what it knows and how it forwards. */
@NullMarked
package org.corianderweir.daemon.entry;

import org.jspecify.annotations.NullMarked;
