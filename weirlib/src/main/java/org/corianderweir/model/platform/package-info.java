/** Values, write results and leases of the store, and entries of the platform's instance list. */
@NullMarked
package org.corianderweir.model.platform;

import org.jspecify.annotations.NullMarked;
