/** Values and results of the platform's key-value service, leases and list of instances. */
@NullMarked
package org.corianderweir.model.platform;

import org.jspecify.annotations.NullMarked;
