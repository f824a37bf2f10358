/** The client of the platform's key-value service and instance list. */
@NullMarked
package org.corianderweir.daemon.platform;

import org.jspecify.annotations.NullMarked;
