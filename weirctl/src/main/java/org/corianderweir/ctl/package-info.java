/** The command line tool {@code weirctl} for operators. */
@NullMarked
package org.corianderweir.ctl;

import org.jspecify.annotations.NullMarked;
