/** Items of a key-value store with revisions, watches and leases. */
@NullMarked
package org.corianderweir.model.store;

import org.jspecify.annotations.NullMarked;
