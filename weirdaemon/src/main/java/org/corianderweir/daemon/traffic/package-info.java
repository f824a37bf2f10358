/** What callers reach: look-ups and requests. */
@NullMarked
package org.corianderweir.daemon.traffic;

import org.jspecify.annotations.NullMarked;
