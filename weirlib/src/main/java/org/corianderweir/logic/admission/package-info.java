/**
 * Admission when the servers' capacity is insufficient: whether a request is sent to the server
 * that was chosen for it, waits at the instance, or is rejected.
 */
@NullMarked
package org.corianderweir.logic.admission;

import org.jspecify.annotations.NullMarked;
