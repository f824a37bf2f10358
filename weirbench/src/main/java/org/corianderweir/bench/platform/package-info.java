/** Stand-in for the platform's key-value service, leases and instance list. */
@NullMarked
package org.corianderweir.bench.platform;

import org.jspecify.annotations.NullMarked;
