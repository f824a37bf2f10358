/** The interface to the platform's key-value service and instance list. */
@NullMarked
package org.corianderweir.logic.platform;

import org.jspecify.annotations.NullMarked;
