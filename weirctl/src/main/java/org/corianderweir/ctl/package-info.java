/** The operators' tool. */
@NullMarked
package org.corianderweir.ctl;

import org.jspecify.annotations.NullMarked;
