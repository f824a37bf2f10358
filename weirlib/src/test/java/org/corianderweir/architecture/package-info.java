/** Tests of architecture rules for the whole library. */
package org.corianderweir.architecture;
