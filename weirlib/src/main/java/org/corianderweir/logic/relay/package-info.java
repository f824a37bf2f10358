/**
 * Relays of the metadata store: a few instances of each availability zone watch the store, and the
 * others follow them.
 */
@NullMarked
package org.corianderweir.logic.relay;

import org.jspecify.annotations.NullMarked;
