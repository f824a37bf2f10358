/** Decides which backend server a request is sent to, when it is retried, and that it runs once. */
@NullMarked
package org.corianderweir.logic.delivery;

import org.jspecify.annotations.NullMarked;
