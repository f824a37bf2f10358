/** What the platform's key-value service and instance list store and answer. */
@NullMarked
package org.corianderweir.model.platform;

import org.jspecify.annotations.NullMarked;
