/** An entry instance that reads the platform's metadata store and forwards requests. */
@NullMarked
package org.corianderweir.daemon.entry;

import org.jspecify.annotations.NullMarked;
